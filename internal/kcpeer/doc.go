// Package kcpeer implements the RPC service between instances, including the
// gossip of digests, and tracks which peers are reachable.
package kcpeer

//go:generate protoc --proto_path=. --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto
