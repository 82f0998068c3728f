package launcher

import (
	"context"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReloadOutsideRunDoesNotEndProcess guards against a SIGHUP that ends a process which has
// not begun, or has ceased, to listen for it. Without the mend it ends the test's process.
func TestReloadOutsideRunDoesNotEndProcess(t *testing.T) {
	NewSignalStop()
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	logReloads(RoleGateway)(ctx)
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
}
