package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// instanceFlags are the flags of commands that query gateway instances.
type instanceFlags struct {
	Instances []string      `required:"" placeholder:"IP:PORT" help:"Metrics addresses of the gateway instances to ask (listen.metrics in their settings), separated by commas."`
	Timeout   time.Duration `default:"3s" help:"How long to wait for answers."`
	JSON      bool          `name:"json" help:"Print JSON in place of a table."`
}

// print prints a report. It returns an exitCodeError if any instance did not respond.
func (i *instanceFlags) print(r report, unreached []string) error {
	if err := printReport(r, i.JSON); err != nil {
		return err
	}
	if len(unreached) > 0 {
		return &exitCodeError{Code: exitUnreachable}
	}
	return nil
}

// writeUnreachable lists the instances that did not respond, with the reasons.
func writeUnreachable(w io.Writer, unreached []string) {
	for _, u := range unreached {
		fmt.Fprintf(w, "no answer: %s\n", u)
	}
}

// queryInstances gets the JSON document at path from all instances and passes each to take. It
// returns the instances that did not respond, with the reasons.
func queryInstances[T any](ctx context.Context, args *instanceFlags, path string, take func(T)) (unreached []string) {
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	for _, address := range args.Instances {
		document, err := queryInstance[T](ctx, address, path)
		if err != nil {
			unreached = append(unreached, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		take(document)
	}
	return unreached
}

// queryInstance gets the JSON document at path from a gateway instance's metrics address.
func queryInstance[T any](ctx context.Context, address, path string) (document T, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return document, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return document, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return document, &responseStatusError{Status: resp.StatusCode}
	}
	err = json.NewDecoder(resp.Body).Decode(&document)
	return document, err
}

// responseStatusError reports a response with a status other than 200.
type responseStatusError struct{ Status int }

// Error implements error.
func (e *responseStatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }
