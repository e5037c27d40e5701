package kcresponse

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/zeebo/errs"
)

// MaxHeaderBytes limits the head of a response, together with the interim responses
// before it. It is four times the limit that servers usually set for requests.
const MaxHeaderBytes = 64 << 10

// Transport is an http.RoundTripper that returns an error in place of a response whose
// head breaks HTTP.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that sends requests as base does. base must not be
// in use. The heads of responses are limited to MaxHeaderBytes.
func NewTransport(base *http.Transport) Transport {
	base.MaxResponseHeaderBytes = MaxHeaderBytes
	return Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	interimBytes := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			// net/http limits each interim response, not their sum.
			if interimBytes += headBytes(h); interimBytes > MaxHeaderBytes {
				return errs.New("the interim responses are larger than %d bytes", MaxHeaderBytes)
			}
			return CheckHead(&http.Response{StatusCode: code, Header: http.Header(h)})
		},
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		return nil, errs.Combine(err, resp.Body.Close())
	}
	return resp, nil
}

// headBytes returns the size of the head of a response. Status lines count as the
// shortest one.
func headBytes(h textproto.MIMEHeader) int {
	n := len("HTTP/1.1 100\r\n\r\n")
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// IsFramed reports whether the body of a response has a length or is sent in chunks.
// Otherwise it ends when the connection closes, and its end does not show that it is
// complete.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
