package evidence

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/kernel"
)

func TestContact(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, c := range []struct {
		name string
		err  *adapter.CallError
		want feed.EvidenceKind
	}{
		{"success", nil, feed.EvidenceSucceeded},
		{"a response with an error status shows liveness", &adapter.CallError{Code: kernel.FailureUpstream, Status: 500}, feed.EvidenceSucceeded},
		{"draining", &adapter.CallError{Code: kernel.FailureDraining, Status: 503}, feed.EvidenceDraining},
		{"refused", &adapter.CallError{Code: kernel.FailureConnect, Err: refused}, feed.EvidenceRefused},
		{"timeout", &adapter.CallError{Code: kernel.FailureTimeout, Err: context.DeadlineExceeded}, feed.EvidenceTimeout},
		{"reset", &adapter.CallError{Code: kernel.FailureBroken, Err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}, feed.EvidenceBroken},
		{"stalled", &adapter.CallError{Code: kernel.FailureStalled, Err: context.Canceled}, feed.EvidenceBroken},
		{"ended", &adapter.CallError{Code: kernel.FailureBroken, Err: io.ErrUnexpectedEOF}, feed.EvidenceBroken},
		{"local cancel gives no evidence", &adapter.CallError{Code: kernel.FailureBroken, Err: context.Canceled}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := New(), time.Now()
			l.RecordAttempt("u-1", c.err, now)
			got := l.Take(now.Add(time.Second))
			if c.want == "" {
				assert.Equal(t, len(got), 0)
				return
			}
			assert.DeepEqual(t, got, []feed.Evidence{{Kind: c.want, Upstream: "u-1", AgeMS: 1000}})
		})
	}
}

func TestNewestIsKeptUntilTaken(t *testing.T) {
	l, now := New(), time.Now()
	l.RecordObservation("u-2", adapter.Observation{Load: kernel.Load{Running: 1}}, now)
	l.RecordObservation("u-2", adapter.Observation{Load: kernel.Load{Running: 2}, Draining: true}, now)
	l.RecordAttempt("u-1", nil, now)
	l.RecordPeerFailure("p-1", true, now)
	l.RecordPeerFailure("p-2", false, now)
	got := l.Take(now)
	assert.Equal(t, len(got), 5)
	assert.Equal(t, got[0].Kind, feed.EvidenceRefused)
	assert.Equal(t, got[1].Kind, feed.EvidenceTimeout)
	assert.Equal(t, got[3].Kind, feed.EvidenceDraining)
	assert.Equal(t, got[4].Load.Running, 2)
	assert.Equal(t, len(l.Take(now)), 0)
}
