package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/wardspool/wardspool/standin/judge"
)

// Client calls the control interface of one stand-in.
type Client struct {
	// Address is the stand-in's IP:port.
	Address string
	// HTTP sends the requests. Default: http.DefaultClient.
	HTTP *http.Client
}

// StatusError reports a response with a status of 300 or above.
type StatusError struct {
	Method string
	Path   string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: status %d: %s", e.Method, e.Path, e.Status, e.Body)
}

// maxErrorBody bounds how much of the response body a StatusError quotes, in bytes.
const maxErrorBody = 1 << 10

// Engine reads the report of a stand-in engine. All methods return errors of net/http
// or encoding/json, or a *StatusError.
func (c Client) Engine(ctx context.Context) (judge.Engine, error) {
	return get[judge.Engine](ctx, c, PathJudge)
}

// Service reads the report of a stand-in service.
func (c Client) Service(ctx context.Context) (judge.Service, error) {
	return get[judge.Service](ctx, c, PathJudge)
}

// Platform reads the report of a stand-in platform.
func (c Client) Platform(ctx context.Context) (judge.Platform, error) {
	return get[judge.Platform](ctx, c, PathJudge)
}

// SetEngineFaults replaces the faults of a stand-in engine.
func (c Client) SetEngineFaults(ctx context.Context, f EngineFaults) error {
	return c.sendJSON(ctx, http.MethodPut, PathFaults, f)
}

// SetServiceFaults replaces the faults of a stand-in service.
func (c Client) SetServiceFaults(ctx context.Context, f ServiceFaults) error {
	return c.sendJSON(ctx, http.MethodPut, PathFaults, f)
}

// Crash makes a stand-in engine or service behave as if its process was killed.
func (c Client) Crash(ctx context.Context, crash Crash) error {
	return c.sendJSON(ctx, http.MethodPost, PathCrash, crash)
}

// SetMode replaces the mode of a stand-in platform.
func (c Client) SetMode(ctx context.Context, m PlatformMode) error {
	return c.sendJSON(ctx, http.MethodPut, PathMode, m)
}

// PutKey writes a key of a stand-in platform.
func (c Client) PutKey(ctx context.Context, key string, value []byte) error {
	return c.send(ctx, http.MethodPut, PathKeys+key, value, nil)
}

// DeleteKey removes a key of a stand-in platform.
func (c Client) DeleteKey(ctx context.Context, key string) error {
	return c.send(ctx, http.MethodDelete, PathKeys+key, nil, nil)
}

// get requests a JSON document and decodes it.
func get[T any](ctx context.Context, c Client, path string) (T, error) {
	var out T
	err := c.send(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// sendJSON sends a JSON document and discards the response body.
func (c Client) sendJSON(ctx context.Context, method, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.send(ctx, method, path, body, nil)
}

// send makes one request. It decodes the JSON response into into, or discards it if into is
// nil.
func (c Client) send(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		// A read error is ignored: a partial body is sufficient for the message.
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		return &StatusError{Method: method, Path: path, Status: resp.StatusCode, Body: string(text)}
	}
	if into == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
