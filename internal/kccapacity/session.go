package kccapacity

import (
	"context"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcsession"
)

const variableSessionKeys = "session keys"

// measureSession measures issuing and verifying a session token, and its size.
func measureSession(_ context.Context, r *Report) error {
	for _, n := range []int{1, 2, 4} {
		keys := make([]kcsession.Key, n)
		for i := range keys {
			keys[i] = kcsession.Key{ID: instanceName(i), Secret: strings.Repeat("s", kcsession.MinSecretBytes)}
		}
		s, err := kcsession.NewSigner(keys)
		if err != nil {
			return err
		}
		token, err := s.Issue(workspaceName(0), versionName(0))
		if err != nil {
			return err
		}
		size := float64(n)
		r.measureCalls("session.issue", variableSessionKeys, size, 1000, func() { _, _ = s.Issue(workspaceName(0), versionName(0)) })
		r.measureCalls("session.verify", variableSessionKeys, size, 1000, func() { _, err = s.Verify(workspaceName(0), token) })
		if err != nil {
			return err
		}
		r.addPoint("session.token.bytes", variableSessionKeys, UnitBytes, singlePoint(size, float64(len(token))))
	}
	return nil
}
