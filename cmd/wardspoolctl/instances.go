package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// instanceArgs are the flags of commands that query gateway instances.
type instanceArgs struct {
	Instances []string      `required:"" placeholder:"IP:PORT" help:"Metrics addresses of the gateway instances to ask (listen.metrics in their settings), separated by commas."`
	Timeout   time.Duration `default:"3s" help:"How long to wait for answers."`
	JSON      bool          `name:"json" help:"Print JSON in place of a table."`
}

// finish prints an answer. It returns an askExit if any instance did not respond.
func (i *instanceArgs) finish(a answer, unreached []string) error {
	if err := printAnswer(a, i.JSON); err != nil {
		return err
	}
	if len(unreached) > 0 {
		return &askExit{Code: exitUnreached}
	}
	return nil
}

// writeUnreached lists the instances that did not respond, with the reasons.
func writeUnreached(w io.Writer, unreached []string) {
	for _, u := range unreached {
		fmt.Fprintf(w, "no answer: %s\n", u)
	}
}

// askInstances gets the JSON document at path from all instances and passes each to take. It
// returns the instances that did not respond, with the reasons.
func askInstances[T any](ctx context.Context, args *instanceArgs, path string, take func(T)) (unreached []string) {
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	for _, address := range args.Instances {
		said, err := askInstance[T](ctx, address, path)
		if err != nil {
			unreached = append(unreached, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		take(said)
	}
	return unreached
}

// askInstance gets the JSON document at path from a gateway instance's metrics address.
func askInstance[T any](ctx context.Context, address, path string) (answer T, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return answer, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, &answerStatusError{Status: resp.StatusCode}
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err
}

// answerStatusError reports a response with a status other than 200.
type answerStatusError struct{ Status int }

// Error implements error.
func (e *answerStatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }
