package kcstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
)

const upstreamReadHeaderTimeout = 10 * time.Second

// upstreamServer is the HTTP server of an engine or a plain service. It can be
// closed and opened again to simulate the loss and return of an instance or of an
// availability zone.
type upstreamServer struct {
	list    *InstanceList
	conns   *connTracker
	handler http.Handler

	mu     sync.Mutex
	member kcmember.Member
	server *http.Server
}

// start starts the server with the endpoints that register adds.
func (u *upstreamServer) start(ctx context.Context, conns *connTracker, register func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	register(mux)
	u.conns, u.handler = conns, conns.hangSilent(mux)
	return u.listen(ctx)
}

// listen starts serving on a free loopback port and puts the new address into the
// list of instances. It does nothing if the server is already listening.
func (u *upstreamServer) listen(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		return nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errs.Wrap(err)
	}
	u.member.Addr = ln.Addr().String()
	u.list.Put(u.member)
	u.server = &http.Server{Handler: u.handler, ConnContext: u.conns.connContext, ReadHeaderTimeout: upstreamReadHeaderTimeout}
	go func(server *http.Server) { _ = server.Serve(ln) }(u.server)
	return nil
}

// setVersions updates the versions of an engine in the list of instances.
func (u *upstreamServer) setVersions(versions []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.member.Versions = versions
	u.list.Put(u.member)
}

// close closes the listener and all open connections, so that new connections are
// refused. The list of instances keeps the address.
func (u *upstreamServer) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		_ = u.server.Close()
		u.server = nil
	}
}
