package entry_test

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/control"
)

// versionedWriter puts a software version before the text of each event.
type versionedWriter struct {
	http.ResponseWriter
	version string
}

func (w versionedWriter) Write(p []byte) (int, error) {
	marked := bytes.ReplaceAll(p, []byte(`"text":"t`), []byte(`"text":"`+w.version+`.t`))
	if _, err := w.ResponseWriter.Write(marked); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (w versionedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w versionedWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// runVersion makes an engine write a software version into its events.
func (b *testbed) runVersion(id ident.UpstreamID, version string) {
	b.t.Helper()
	h := b.engines[id].Handler()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.addresses[id] = b.serveOn(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(versionedWriter{w, version}, r)
	}))
}

// TestStreamIsNotJoinedFromTwoSoftwareVersions guards against a stream that breaks off at an engine of one software
// version and goes on at another.
func TestStreamIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	f := newTestFleet(t)
	f.addresses["dc-2"] = f.startEngine("dc-2", config.RoleDecode).Address
	versions := map[ident.UpstreamID]string{"dc-1": "v1", "dc-2": "v2"}
	for id, version := range versions {
		f.runVersion(id, version)
		f.setFaults(id, control.EngineFaults{FailAfterTokens: 5})
	}
	f.versions = versions
	f.makeAllReady()
	f.directTo(0)
	resp, body := f.do(http.MethodPost, "/v1/completions", completion(8, true))
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	text, done, problem := streamedText(t, body)
	assert.Assert(t, done, "%v", problem)
	tokens := strings.Fields(text)
	assert.Equal(t, len(tokens), 8)
	first, _, _ := strings.Cut(tokens[0], ".")
	for _, token := range tokens {
		assert.Assert(t, strings.HasPrefix(token, first+"."), "the stream is joined from two versions: %s", text)
	}
}
