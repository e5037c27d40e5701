package kcinstance_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcinstance"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// startFleet runs n instances in two availability zones before one platform and
// returns their base URLs. The function ends them early and may be omitted.
func startFleet(t *testing.T, n int) (*kcstandin.Platform, []string, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p, err := kcstandin.StartPlatform(ctx, kcstandin.PlatformOptions{Clock: kcclock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	var urls []string
	ended := make(chan error, n)
	for k := range n {
		set := kcsettings.Defaults()
		set.Timing.ListPollMs = 20
		id, zone := fmt.Sprintf("entry-%d", k), fmt.Sprintf("zone-%d", k%2)
		set.Instance = kcsettings.Instance{
			ID: id, Zone: zone, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0",
		}
		set.SessionKeys = kcsettings.DemoSessionKeys()
		set.Rules = kcsettings.DemoRules()
		inst, err := kcinstance.New(kcinstance.Options{
			Settings: set, Clock: kcclock.System{}, Log: slog.New(slog.DiscardHandler), Store: p.Log, Lister: p.List,
		})
		if err != nil {
			t.Fatal(err)
		}
		ready := make(chan string, 1)
		go func() {
			ended <- inst.Run(ctx, func(i *kcinstance.Instance) {
				p.List.Put(kcmember.Member{ID: id, Role: kcmember.RoleEntry, Addr: i.PeerAddr, Zone: zone})
				ready <- "http://" + i.CallerAddr
			})
		}()
		select {
		case u := <-ready:
			urls = append(urls, u)
		case err := <-ended:
			t.Fatal(err)
		}
	}
	stop := sync.OnceFunc(func() {
		cancel()
		for range n {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	t.Cleanup(func() {
		stop()
		p.Close()
	})
	return p, urls, stop
}

func billBook(t *testing.T, log *kcstandin.Log) *kcbill.Index {
	t.Helper()
	b := kcbill.NewIndex()
	for i := range kcsettings.Defaults().Timing.Shards {
		stream := fmt.Sprintf("bills-%02d", i)
		page, err := log.Read(context.Background(), stream, 0, 1000, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			b.Fold(stream, r)
		}
	}
	return b
}

// Guards against idempotent work that stops in an outage of the log, and
// against bills of the outage that are missing or differ from the quoted price.
func TestBillsOutliveLogOutage(t *testing.T) {
	p, urls, stop := startFleet(t, 2)
	p.Log.SetFaults(kcstandin.LogFaults{Down: true})
	for _, u := range urls {
		for range 3 {
			status, body := post(t, u+"/v1/chat/completions", "", `{"model":"auto","messages":[{"role":"user","content":"one two"}]}`)
			if status != http.StatusOK {
				t.Fatalf("status %d: %s", status, body)
			}
			if status, body = post(t, u+"/v1/services/orders/lookup", "", "{}"); status != http.StatusOK {
				t.Fatalf("status %d: %s", status, body)
			}
		}
		if status, body := post(t, u+"/v1/services/orders/place", "k", "{}"); status != http.StatusServiceUnavailable {
			t.Fatalf("status %d: %s", status, body)
		}
	}
	p.Log.SetFaults(kcstandin.LogFaults{})
	if status, body := post(t, urls[0]+"/v1/services/orders/place", "k", "{}"); status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	stop()
	bills := billBook(t, p.Log).All()
	for _, b := range bills {
		if b.State != kcbill.Closed || b.Amount != b.Price || b.Amount == 0 || b.Execution != kcapi.Completed {
			t.Errorf("bill %+v", b)
		}
	}
	if len(bills) != 13 {
		t.Errorf("%d bills, want 13", len(bills))
	}
}
