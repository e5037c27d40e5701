package kcpeer_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// digestRecorder adds the demand of sent to digests and records the last digest
// that arrived.
type digestRecorder struct{ sent, received *kcpeer.Digest }

func (p *digestRecorder) FillDigest(d *kcpeer.Digest) { d.Demand = p.sent.Demand }

func (p *digestRecorder) ReadDigest(d *kcpeer.Digest) { p.received = d }

// Guards against a request or response that arrives changed, whether it was
// compressed or not.
func TestDigestsArriveUnchanged(t *testing.T) {
	peers := startCluster(t, kcclock.NewManual(0), "a zone-1 region-1", "b zone-1 region-1")
	rapid.Check(t, func(rt *rapid.T) {
		ends := [2]*digestRecorder{{}, {}}
		for i, p := range peers {
			d := &kcpeer.Digest{}
			for n := range rapid.IntRange(0, 40).Draw(rt, "entries") {
				d.Demand = append(d.Demand, &kcpeer.WorkspaceDemand{Workspace: fmt.Sprint(n), Requests: rapid.Int64().Draw(rt, "requests")})
			}
			ends[i].sent = d
			p.digests.Store(ends[i])
		}
		peers[0].node.RunRound(context.Background())
		for i, e := range ends {
			want := ends[1-i].sent
			if e.received == nil || !proto.Equal(&kcpeer.Digest{Demand: e.received.Demand}, want) {
				rt.Fatalf("peer %d got %v, want %v", i, e.received, want)
			}
		}
	})
	var text strings.Builder
	_, _ = peers[0].metrics.WriteTo(&text)
	if strings.Contains(text.String(), "peer.failures") {
		t.Errorf("exchanges failed:\n%s", text.String())
	}
}

// Guards against an instance that fails on an uncompressed body whose header
// states gzip.
func TestInvalidGzipBodyIsRejected(t *testing.T) {
	peers := startCluster(t, kcclock.NewManual(0), "a zone-1 region-1")
	url := peers[0].server.URL + kcpeer.PeerPathPrefix + "Exchange"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("plain"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/protobuf")
	req.Header.Set("Content-Encoding", "gzip")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", resp.StatusCode)
	}
}
