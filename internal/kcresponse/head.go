// Package kcresponse tells sound responses of servers from broken ones: by their
// heads, and by the ends of bodies without framing.
package kcresponse

import (
	"net/http"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the limits of status codes in RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
)

// IsInterim reports whether another response to the same request follows a response.
// The server must not switch protocols (101) unless the request asks for it, and none
// does, so that CheckHead rejects that status.
func IsInterim(resp *http.Response) bool {
	return resp.StatusCode >= minStatus && resp.StatusCode < http.StatusOK
}

// CheckHead returns an error if the head of a response, interim or final, breaks HTTP in
// a way that net/http accepts.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errs.New("the response has the invalid status %.64q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errs.New("the response switches protocols, which the request has not asked for")
	case holdsStatusLine(resp.Status):
		return errs.New("the status line %.64q holds another one", resp.Status)
	}
	for name, values := range resp.Header {
		// net/http accepts blanks. A field such as "Content-Length " is then no length.
		if !httpguts.ValidHeaderFieldName(name) {
			return errs.New("the name %.64q of a field of the response is not valid", name)
		}
		if slices.ContainsFunc(values, holdsStatusLine) {
			return errs.New("the field %.64q of the response holds a status line", name)
		}
	}
	return nil
}

// holdsStatusLine reports whether a line of a head holds a status line. An earlier head
// on the connection has broken off in that line then, and what follows belongs to another
// response.
func holdsStatusLine(line string) bool {
	const version, status = "HTTP/1.", "1 200"
	for {
		_, rest, found := strings.Cut(line, version)
		if !found {
			return false
		}
		if len(rest) >= len(status) && isDigits(rest[:1]) && rest[1] == ' ' && isDigits(rest[2:len(status)]) {
			return true
		}
		line = rest
	}
}

func isDigits(s string) bool { return strings.Trim(s, "0123456789") == "" }

// maxErrorText is the size in bytes of the text of an error that quotes a response. The
// errors of connections, which callers tell apart, are shorter.
const maxErrorText = 256

// BoundError returns err, or an error with the beginning of its text if that is long.
// net/http quotes lines that it does not understand, up to the limit on heads, and
// errors are logged.
func BoundError(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errs.New("%s…", text[:maxErrorText])
	}
	return err
}
