package kccapacity

import (
	"context"
	"fmt"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const ofRecords = "records"

// recordBytes is about the size of a claim or a bill.
const recordBytes = 340

// measureLog measures appends and reads of the log over TCP. Processor time
// includes the stand-in of the log.
func measureLog(ctx context.Context, r *Report) error {
	body := make(map[string]string)
	for n := range recordBytes / 34 {
		body[fmt.Sprintf("field%04d", n)] = "0123456789012345678"
	}
	for _, n := range []int{0, 1, 8, 64, 256} {
		log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.NewManual(1)})
		mux := http.NewServeMux()
		log.Register(mux)
		w, stop, err := serve(ctx, mux)
		if err != nil {
			return err
		}
		client := &kclog.Client{BaseURL: "http://" + w.addr, HTTP: http.DefaultClient}
		recs := make([]kclog.NewRecord, n)
		for i := range recs {
			recs[i] = kclog.Encode(fmt.Sprintf("record-%022d", i), "kind", body)
		}
		var failed error
		measure := func(name string, f func() error) {
			before, calls := 0.0, 0
			r.paced(name, ofRecords, float64(n), 10, func() {
				if calls == 1 {
					before = w.bytes()
				}
				calls++
				if err := f(); err != nil {
					failed = err
				}
			})
			r.add(name+".bytes", ofRecords, UnitBytes, one(float64(n), (w.bytes()-before)/float64(calls-1)))
		}
		if n > 0 {
			measure("log.append", func() error { _, err := client.Append(ctx, "stream", recs); return err })
		}
		measure("log.read", func() error { _, err := client.Read(ctx, "stream", 0, max(n, 1), 0); return err })
		stop()
		if failed != nil {
			return failed
		}
	}
	return nil
}
