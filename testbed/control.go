package testbed

import (
	"context"
	"fmt"
	"net/http"
)

// ControlError reports a stand-in that did not take a bench command.
type ControlError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *ControlError) Error() string {
	return fmt.Sprintf("stand-in at %s answered a bench command with status %d", e.Address, e.Status)
}

// CrashEngine has a stand-in engine behave as if its process was killed and
// started again: all it held is lost, its judge's counters are kept.
func CrashEngine(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/crash", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &ControlError{Address: address, Status: resp.StatusCode}
	}
	return nil
}
