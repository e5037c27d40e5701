package kccapacity

import (
	"context"
	"fmt"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
	"github.com/kingcuprail/kingcuprail/pkg/kclog"
)

const variableRecords = "records"

// recordBodyBytes is the approximate size of a claim or a bill.
const recordBodyBytes = 340

// measureLog measures appends to and reads from the log over TCP. CPU time
// includes that of the log stand-in.
func measureLog(ctx context.Context, r *Report) error {
	body := make(map[string]string)
	for n := range recordBodyBytes / 34 {
		body[fmt.Sprintf("field%04d", n)] = "0123456789012345678"
	}
	for _, n := range []int{0, 1, 8, 64, 256} {
		log := kcstandin.NewLog(kcstandin.LogOptions{Clock: kcclock.NewManual(1)})
		mux := http.NewServeMux()
		log.Register(mux)
		server, stop, err := startCountingServer(ctx, mux)
		if err != nil {
			return err
		}
		client := &kclog.Client{BaseURL: "http://" + server.addr, HTTP: http.DefaultClient}
		recs := make([]kclog.NewRecord, n)
		for i := range recs {
			recs[i] = kclog.Encode(fmt.Sprintf("record-%022d", i), "kind", body)
		}
		var lastErr error
		measure := func(name string, f func() error) {
			bytesBefore, calls := 0.0, 0
			r.measurePacedCalls(name, variableRecords, float64(n), 10, func() {
				if calls == 1 {
					bytesBefore = server.totalBytes()
				}
				calls++
				if err := f(); err != nil {
					lastErr = err
				}
			})
			r.addPoint(name+".bytes", variableRecords, UnitBytes,
				singlePoint(float64(n), (server.totalBytes()-bytesBefore)/float64(calls-1)))
		}
		if n > 0 {
			measure("log.append", func() error { _, err := client.Append(ctx, "stream", recs); return err })
		}
		measure("log.read", func() error { _, err := client.Read(ctx, "stream", 0, max(n, 1), 0); return err })
		stop()
		if lastErr != nil {
			return lastErr
		}
	}
	return nil
}
