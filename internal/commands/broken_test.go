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
	const body = "state ready\ninFlight 7\n"
	reader := kcfault.Reader{
		Body: body, Want: body, RequiresFraming: true,
		Read: func(ctx context.Context, addr string, _ []byte) (string, error) {
			_, got, err := adminClient{Admin: addr, Timeout: time.Minute}.get(&commandEnv{ctx: ctx}, "/status")
			return got, err
		},
	}
	reader.Check(t)
	reader.CheckCuts(t)
}
