package kcprogram

import "testing"

// Guards against a second test that is given the port of an instance that is
// between two processes: nothing listens at the port then.
func TestPortStaysReservedUntilTheEndOfTheTest(t *testing.T) {
	var port int
	t.Run("owner", func(t *testing.T) {
		port = FreePort(t)
		if release, ok := reserve(port); ok {
			release()
			t.Errorf("port %d of this test is given to another", port)
		}
	})
	release, ok := reserve(port)
	if !ok {
		t.Fatalf("port %d is not free after the end of its test", port)
	}
	release()
}
