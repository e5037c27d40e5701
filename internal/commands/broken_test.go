package commands

import (
	"context"
	"testing"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kcfault"
)

// Guards against a broken response of an instance that is printed as a whole one, and
// against a sound one that is not.
func TestBrokenAdminResponseIsAnError(t *testing.T) {
	const body = "the state of the instance"
	kcfault.Reader{
		Body: body, Want: body,
		Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
			_, got, err := adminClient{Admin: addr, Timeout: time.Minute}.get(&commandEnv{ctx: ctx}, "/status")
			return got, err
		},
	}.Check(t)
}
