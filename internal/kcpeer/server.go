package kcpeer

import (
	"context"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// ClaimHandler appends claims and outcomes to the log for the shards that this
// instance owns.
type ClaimHandler interface {
	Claim(ctx context.Context, req *ClaimRequest) (*ClaimResponse, error)
	Finish(ctx context.Context, req *FinishRequest) (*FinishResponse, error)
}

// BillHandler holds copies of bills for other instances.
type BillHandler interface {
	HoldBills(ctx context.Context, req *HoldBillsRequest) (*HoldBillsResponse, error)
	ReleaseBills(ctx context.Context, req *ReleaseBillsRequest) (*ReleaseBillsResponse, error)
}

// ConfigHandler returns configuration records to peers that lack them.
type ConfigHandler interface {
	ReadConfig(ctx context.Context, req *ReadConfigRequest) (*ReadConfigResponse, error)
}

// DigestHandler adds data to the digests that are sent and reads those that
// arrive. Its methods are called concurrently.
type DigestHandler interface {
	// FillDigest adds data to a digest before it is sent.
	FillDigest(d *Digest)
	// ReadDigest reads a digest of a peer.
	ReadDigest(d *Digest)
}

// Handlers are the parts of an instance that serve calls of peers. A call whose
// handler is nil fails with the Twirp code "unimplemented".
type Handlers struct {
	Claims ClaimHandler
	Bills  BillHandler
	Config ConfigHandler
	// Digests fill and read digests, in this order.
	Digests []DigestHandler
}

// server implements Peer for calls of other instances.
type server struct{ n *Node }

func unimplemented() error { return twirp.NewError(twirp.Unimplemented, "not served by this instance") }

// Exchange reads the digest of a peer and returns the one of this instance.
func (s server) Exchange(_ context.Context, d *Digest) (*Digest, error) {
	for _, p := range s.n.opts.Handlers.Digests {
		p.ReadDigest(d)
	}
	return s.n.buildDigest(), nil
}

// ReadConfig passes the call on to the handler.
func (s server) ReadConfig(ctx context.Context, req *ReadConfigRequest) (*ReadConfigResponse, error) {
	if h := s.n.opts.Handlers.Config; h != nil {
		return h.ReadConfig(ctx, req)
	}
	return nil, unimplemented()
}

// HoldBills passes the call on to the handler.
func (s server) HoldBills(ctx context.Context, req *HoldBillsRequest) (*HoldBillsResponse, error) {
	if h := s.n.opts.Handlers.Bills; h != nil {
		return h.HoldBills(ctx, req)
	}
	return nil, unimplemented()
}

// ReleaseBills passes the call on to the handler.
func (s server) ReleaseBills(ctx context.Context, req *ReleaseBillsRequest) (*ReleaseBillsResponse, error) {
	if h := s.n.opts.Handlers.Bills; h != nil {
		return h.ReleaseBills(ctx, req)
	}
	return nil, unimplemented()
}

// Claim passes the call on to the handler.
func (s server) Claim(ctx context.Context, req *ClaimRequest) (*ClaimResponse, error) {
	if h := s.n.opts.Handlers.Claims; h != nil {
		return h.Claim(ctx, req)
	}
	return nil, unimplemented()
}

// Finish passes the call on to the handler.
func (s server) Finish(ctx context.Context, req *FinishRequest) (*FinishResponse, error) {
	if h := s.n.opts.Handlers.Claims; h != nil {
		return h.Finish(ctx, req)
	}
	return nil, unimplemented()
}

// Handler returns the HTTP handler of the peer listener. It decompresses
// requests, compresses responses and counts both. It refuses requests of
// another deployment.
func (n *Node) Handler() http.Handler {
	next := NewPeerServer(server{n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(deploymentHeader, n.opts.Deployment)
		if other := r.Header.Get(deploymentHeader); other != n.opts.Deployment {
			n.recordForeign(r.RemoteAddr, other)
			http.Error(w, errForeign.Error(), http.StatusForbidden)
			return
		}
		rpc := rpcName(r.URL.Path)
		body := &countingBody{ReadCloser: r.Body}
		counted := &countingWriter{ResponseWriter: w}
		decompressed, err := decompress(r.Header, body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = decompressed
		response := &compressingWriter{
			ResponseWriter: counted, gzipper: &n.gzipper, acceptsGzip: r.Header.Get("Accept-Encoding") == encodingGzip,
		}
		next.ServeHTTP(response, r)
		response.sendHeader()
		n.countMessage(rpc, counted.bytes, body.bytes)
	})
}

// rpcName returns the name of the called RPC in lower camel case, for metrics. It
// returns "other" for paths that are no RPC of the service, so that a peer cannot
// create arbitrary metrics.
func rpcName(path string) string {
	method, ok := strings.CutPrefix(path, PeerPathPrefix)
	switch {
	case !ok:
		return "other"
	case method == "Exchange", method == "ReadConfig", method == "HoldBills", method == "ReleaseBills", method == "Claim",
		method == "Finish":
		return strings.ToLower(method[:1]) + method[1:]
	default:
		return "other"
	}
}
