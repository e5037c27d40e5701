package kcedge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/platform/kcplatformtest"
)

// Guards against taking over the keys of another deployment, whose instance
// listens at the address of a peer that is gone.
func TestConfigOfAnotherDeploymentIsNotTaken(t *testing.T) {
	newStore := func(key string) *kcplatformtest.Store {
		store := kcplatformtest.NewStore(t)
		store.Put("keyed.servers", "u1", upstreamEntry(serveEcho(t), "v1", 1))
		store.Put("keyed.op", "config", configJSON("3", fmt.Sprintf("%q", key)))
		return store
	}
	start := func(name, key string, store *kcplatformtest.Store, linkMbps int) (p *testInstance, peerAddr string) {
		p, peerAddr = &testInstance{store: store}, fmt.Sprintf("127.0.0.1:%d", kcprogram.FreePort(t))
		p.start(t, kctable.Deployment{
			Instance: name, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"},
			PeerAddr: peerAddr, LinkMbps: linkMbps,
			Bounds: kctable.Bounds{GraceMs: 2000, RetryRatio: 0.9, SessionIdleMs: 5000},
		})
		p.waitForStatus(t, p.callerAddr, "/a/b", key, http.StatusOK)
		return p, peerAddr
	}
	other, addr := start("other", "k9", newStore("k9"), 1000)
	other.store.Put("keyed.op", "config", configJSON("4", `"k9","k2"`))
	other.waitForStatus(t, other.callerAddr, "/a/b", "k2", http.StatusOK)
	// The list still names an instance at the address that the other deployment
	// uses now. With its faster link it is to read for the availability zone.
	store := newStore("k1")
	entry := `{"zone":"z","region":"r","address":%q,"linkMbps":1000}`
	store.Put("keyed.status", "instance/gone", fmt.Sprintf(entry, addr))
	own, _ := start("own", "k1", store, 10)
	store.Put("keyed.op", "config", configJSON("4", `"k1","k3"`))
	foreign, applied := 0, 0
	waitUntil(func() bool {
		foreign, _ = own.get(t, own.callerAddr, "/a/b", "k2")
		applied, _ = own.get(t, own.callerAddr, "/a/b", "k3")
		return foreign == http.StatusOK || applied == http.StatusOK
	})
	if foreign == http.StatusOK || applied != http.StatusOK {
		t.Errorf("status %d for a key of the other deployment, %d for an own one", foreign, applied)
	}
}
