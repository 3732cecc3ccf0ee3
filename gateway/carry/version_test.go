package carry

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
)

// newVersionedEnv returns a test environment with one prefill engine, and decode engines that run the
// given software versions: d1 the first one and so on. The first request goes to d1.
func newVersionedEnv(t *testing.T, versions ...string) *testEnv {
	t.Helper()
	names := []string{"d1", "d2", "d3", "d4"}[:len(versions)]
	env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, names)...)
	env.soleVersion = nil
	for i, u := range env.view.Upstreams["s"][1:] {
		env.view.Upstreams["s"][1+i].SoftwareVersion = versions[i]
		if i > 0 {
			env.d.reserve[u.Address] = []error{&dialect.NoCapacityError{}, nil}
		}
	}
	return env
}

// decodeSends returns the IDs of the engines to which callers' requests were sent.
func decodeSends(env *testEnv) (sent []ident.UpstreamID) {
	for _, s := range env.d.sends {
		sent = append(sent, s.To.ID)
	}
	return sent
}

// brokenAfter returns a reply that breaks off after the given number of events.
func brokenAfter(count int) reply {
	return reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, count), breaks: true}
}

// wholeFrom returns a reply with the events from the given one to the fifth.
func wholeFrom(first int) reply {
	return reply{verdict: dialect.Success, status: http.StatusOK, body: events(first, 5)}
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion guards against a stream that goes on, within one answer, at an
// engine of another software version than the one that began it.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2", "v2", "v1")
		env.d.do["d1"] = []reply{brokenAfter(3)}
		env.d.do["d2"], env.d.do["d3"], env.d.do["d4"] = []reply{wholeFrom(4)}, []reply{wholeFrom(4)}, []reply{wholeFrom(4)}
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(resumable), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{"d1", "d4"})
	})
}

// TestBrokenStreamOfAGoneSoftwareVersionEnds guards against a stream that waits until its deadline, or
// goes on elsewhere, when no engine of its software version is left.
func TestBrokenStreamOfAGoneSoftwareVersionEnds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2")
		env.d.do["d1"], env.d.do["d2"] = []reply{brokenAfter(3)}, []reply{wholeFrom(4)}
		env.view.Upstreams["s"][1].Leaving = false
		env.d.onDo = func() { env.view.Upstreams["s"][1].Leaving = true }
		j := job(resumable)
		var got streamRecorder
		_, err := env.Stream(t.Context(), j, &got)
		var broken *InterruptedError
		assert.Assert(t, errors.As(err, &broken), "%v", err)
		assert.Equal(t, got.body.String(), events(1, 3))
		assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{"d1"})
	})
}

// TestStreamWithoutEventsMayRestartAtAnySoftwareVersion guards against a stream that is bound to a software version
// before its first event.
func TestStreamWithoutEventsMayRestartAtAnySoftwareVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2")
		env.d.do["d1"], env.d.do["d2"] = []reply{brokenAfter(0)}, []reply{wholeFrom(1)}
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(resumable), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
	})
}

// TestRestartedStreamPrefersTheVersionThatReadItsPrompt guards against a prompt that engines of two software
// versions keep, so that nobody can tell which of them began the stream.
func TestRestartedStreamPrefersTheVersionThatReadItsPrompt(t *testing.T) {
	for name, first := range map[string]reply{
		"broken before its first event": brokenAfter(0),
		"no answer":                     {err: &adapter.CallError{Evidence: kernel.Ambiguous, Err: errors.New("reset")}},
		"an error":                      {verdict: dialect.Failure, status: http.StatusInternalServerError},
	} {
		bubble.Test(t, func(t *testing.T) {
			env := newVersionedEnv(t, "v1", "v1", "v2", "v2")
			env.d.do["d1"] = []reply{first}
			env.d.do["d2"], env.d.do["d3"], env.d.do["d4"] = []reply{wholeFrom(1)}, []reply{wholeFrom(1)}, []reply{wholeFrom(1)}
			var got streamRecorder
			_, err := env.Stream(t.Context(), job(resumable), &got)
			assert.NilError(t, err, name)
			assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{"d1", "d2"})
		})
	}
}

// TestRepeatedAttemptPrefersTheVersionThatReadItsPrompt guards against the same for a caller that sends its
// prompt again, as a new stream, after its first instance died.
func TestRepeatedAttemptPrefersTheVersionThatReadItsPrompt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v1", "v2", "v2")
		env.promptVersions = map[string]string{"own": "v2"}
		for _, id := range []ident.UpstreamID{"d1", "d2", "d3", "d4"} {
			env.d.do[id] = []reply{wholeFrom(1)}
			delete(env.d.reserve, string(id))
		}
		j := job(resumable)
		j.Call.LastPromptPart = "own"
		_, err := env.Stream(t.Context(), j, &streamRecorder{})
		assert.NilError(t, err)
		sent := decodeSends(env)
		assert.Assert(t, len(sent) == 1 && (sent[0] == "d3" || sent[0] == "d4"), "%v", sent)
	})
}

// TestPreferredVersionWithoutRoomRefusesNobody guards against a stream that is refused because the version that
// read its prompt has no room, while engines of another one do.
func TestPreferredVersionWithoutRoomRefusesNobody(t *testing.T) {
	for name, repeated := range map[string]bool{"restarted": false, "sent again by its caller": true} {
		bubble.Test(t, func(t *testing.T) {
			env := newVersionedEnv(t, "v1", "v1", "v2", "v2")
			env.d.do["d1"] = []reply{brokenAfter(0)}
			env.d.do["d2"], env.d.do["d3"], env.d.do["d4"] = []reply{wholeFrom(1)}, []reply{wholeFrom(1)}, []reply{wholeFrom(1)}
			full := []error{&dialect.NoCapacityError{}}
			env.d.reserve["d2"] = full
			j := job(resumable)
			if repeated {
				env.promptVersions = map[string]string{"own": "v1"}
				j.Call.LastPromptPart = "own"
				env.d.reserve["d1"] = full
			}
			_, err := env.Stream(t.Context(), j, &streamRecorder{})
			assert.NilError(t, err, name)
			sent := decodeSends(env)
			last := sent[len(sent)-1]
			assert.Assert(t, last == "d3" || last == "d4", "%s: %v", name, sent)
		})
	}
}

// TestMovedStreamStaysAtItsSoftwareVersion guards against a stream that is moved to an engine of another
// software version.
func TestMovedStreamStaysAtItsSoftwareVersion(t *testing.T) {
	env := startVersionedStreamAtD1(t, singleRun, "v1", "v2")
	env.migrate(t)
	assert.Equal(t, env.d.countKind("copy"), 0)
	assert.NilError(t, env.body.w.Close())
	<-env.ended
	assert.NilError(t, env.err)
	assert.Equal(t, env.got.body.String(), events(1, 2))
}

// jobResuming returns a job of a caller that resumes the stream of an earlier attempt after its third event.
func jobResuming(resumes string) *Job {
	j := job(resumable)
	j.Call.LastEvent, j.Call.ReceivedEvents, j.Call.Resumes = "3", 3, resumes
	return j
}

// TestResumedStreamGoesOnAtItsSoftwareVersion guards against a stream that its caller resumes and that goes on
// at another software version, also if a resumed stream breaks off and is resumed again.
func TestResumedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2", "v2")
		env.d.do["d1"], env.d.do["d2"], env.d.do["d3"] = []reply{wholeFrom(4)}, []reply{wholeFrom(4)}, []reply{wholeFrom(4)}
		env.origins = map[string]string{"first": "v2"}
		for range 4 {
			j := jobResuming("first")
			j.Call.ID = "again"
			_, err := env.Stream(t.Context(), j, &streamRecorder{})
			assert.NilError(t, err)
		}
		for _, id := range decodeSends(env) {
			assert.Assert(t, id != "d1")
		}
		assert.DeepEqual(t, env.origins, map[string]string{"first": "v2"})
	})
}

// TestOriginOfANewStreamIsRecorded guards against a stream whose origin is not known when its caller resumes
// it. A stream that can't be resumed has none.
func TestOriginOfANewStreamIsRecorded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1")
		env.d.do["d1"] = []reply{wholeFrom(1)}
		_, err := env.Stream(t.Context(), job(resumable), &streamRecorder{})
		assert.NilError(t, err)
		once := job(singleRun)
		once.Call.ID = "once"
		_, err = env.Stream(t.Context(), once, &streamRecorder{})
		assert.NilError(t, err)
		assert.DeepEqual(t, env.origins, map[string]string{"q": "v1"})
	})
}

// TestResumedStreamOfUnknownSoftwareVersionIsRefused guards against a stream that goes on at a guess, or whose
// caller waits to learn that it can't go on.
func TestResumedStreamOfUnknownSoftwareVersionIsRefused(t *testing.T) {
	for _, c := range []struct {
		name, resumes, reason string
		origins               map[string]string
	}{
		{"unknown attempt", "first", reasonVersionUnknown, nil},
		{"no attempt named", "", reasonVersionUnknown, map[string]string{"first": "v1"}},
		{"version gone", "first", reasonVersionGone, map[string]string{"first": "v0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newVersionedEnv(t, "v1", "v2")
				env.origins = c.origins
				j := jobResuming(c.resumes)
				_, err := env.Stream(t.Context(), j, &streamRecorder{})
				assert.Equal(t, outcomeOf(t, err), NotRun)
				var refused *Error
				assert.Assert(t, errors.As(err, &refused))
				assert.Equal(t, refused.Reason, c.reason)
				assert.Equal(t, len(env.d.sends), 0)
				assert.Equal(t, clock.Since(j.Arrived), time.Duration(0))
			})
		})
	}
}

// TestRelayedStreamStaysAtItsSoftwareVersion guards against a stream that a peer takes over, or that goes on
// after a peer served it, at another software version.
func TestRelayedStreamStaysAtItsSoftwareVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1", "v2", "v2")
		env.d.do["d1"] = []reply{brokenAfter(3)}
		env.d.onDo = func() { env.disconnected = true }
		env.relayTo = func(relay.Request) (*http.Response, error) {
			env.disconnected = false
			resp, err := answerFromPeer(events(4, 4), true)(relay.Request{})
			relay.SetSoftwareVersion(resp.Header, "v1")
			return resp, err
		}
		j := job(resumable)
		j.Route.MaxAttempts = 3
		var got streamRecorder
		_, err := env.Stream(t.Context(), j, &got)
		assert.Assert(t, err != nil)
		assert.Equal(t, got.body.String(), events(1, 4))
		assert.Equal(t, *env.relayed[0].SoftwareVersion, "v1")
		for _, id := range decodeSends(env) {
			assert.Equal(t, string(id), "d1")
		}
	})
}

// TestStreamThatAPeerBeganStaysAtItsSoftwareVersion guards against a stream that a peer began and that goes on
// at any software version, in particular if the peer does not state its own.
func TestStreamThatAPeerBeganStaysAtItsSoftwareVersion(t *testing.T) {
	for _, states := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			env := newVersionedEnv(t, "v1", "v2")
			env.d.do["d1"], env.d.do["d2"] = []reply{wholeFrom(3)}, []reply{wholeFrom(3)}
			env.d.reserve["d2"] = nil
			env.disconnected = true
			env.relayTo = func(relay.Request) (*http.Response, error) {
				env.disconnected = false
				resp, err := answerFromPeer(events(1, 2), true)(relay.Request{})
				if states {
					relay.SetSoftwareVersion(resp.Header, "v2")
				}
				return resp, err
			}
			var got streamRecorder
			_, err := env.Stream(t.Context(), job(resumable), &got)
			if !states {
				var broken *InterruptedError
				assert.Assert(t, errors.As(err, &broken), "%v", err)
				assert.Equal(t, len(env.d.sends), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got.body.String(), events(1, 5))
			assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{"d2"})
			assert.DeepEqual(t, env.origins, map[string]string{"q": "v2"})
		})
	}
}

// TestRelayedStreamHasNoOriginAtThePeerThatRunsIt guards against the origin of a run whose events never reached the
// caller, because the instance that relayed the stream delivered another run.
func TestRelayedStreamHasNoOriginAtThePeerThatRunsIt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newVersionedEnv(t, "v1")
		env.d.do["d1"] = []reply{wholeFrom(1)}
		j := job(resumable)
		j.Relayed = true
		_, err := env.Stream(t.Context(), j, &streamRecorder{})
		assert.NilError(t, err)
		assert.Equal(t, len(env.origins), 0, "%v", env.origins)
	})
}

// TestStreamDoesNotBeginAtAVersionThatOthersMayNotList guards against a resumable stream that begins at a software
// version which the lists of other instances may not show yet, so that they take the stream for one of another.
func TestStreamDoesNotBeginAtAVersionThatOthersMayNotList(t *testing.T) {
	for name, test := range map[string]struct {
		resumable, leaving bool
		listed             time.Duration
		sent               ident.UpstreamID
	}{
		"just listed":         {resumable: true, sent: "d1"},
		"listed for a second": {resumable: true, listed: time.Second, sent: "d1"},
		"listed by all":       {resumable: true, listed: 1300 * time.Millisecond, sent: "d2"},
		"other one leaves":    {resumable: true, leaving: true, sent: "d2"},
		"never resumed":       {sent: "d2"},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ups := engineUps([]string{"p1"}, []string{"d1", "d2"})
				ups[1].SoftwareVersion, ups[2].SoftwareVersion = "v1", "v2"
				env := newTestEnv(t, ampleBudget, ups...)
				view := fleet.NewView()
				view.MergeList(time.Now(), time.Now(), 1, ups[:2], fleet.FromStore)
				time.Sleep(time.Minute)
				ups[1].Leaving = test.leaving
				view.MergeList(time.Now(), time.Now(), 2, ups, fleet.FromStore)
				time.Sleep(test.listed)
				env.view = view.Snapshot()
				env.d.reserve["d1"] = []error{&dialect.NoCapacityError{}, nil}
				env.d.do["d1"], env.d.do["d2"] = []reply{wholeFrom(1)}, []reply{wholeFrom(1)}
				j := job(singleRun)
				j.Route.Resumable = test.resumable
				_, err := env.Stream(t.Context(), j, &streamRecorder{})
				assert.NilError(t, err)
				assert.DeepEqual(t, decodeSends(env), []ident.UpstreamID{test.sent})
			})
		})
	}
}

// TestSilentEngineLosesNoStreamToAnotherVersionBeforeItsFirstEvent guards against a stream that one version begins while a
// silent engine of another one runs it on: after the loss of all instances the run shows the wrong version.
func TestSilentEngineLosesNoStreamToAnotherVersionBeforeItsFirstEvent(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		sent     []ident.UpstreamID
	}{
		"another version":  {[]string{"v1", "v2"}, []ident.UpstreamID{"d1"}},
		"the same version": {[]string{"v1", "v1"}, []ident.UpstreamID{"d1", "d2"}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newVersionedEnv(t, test.versions...)
				body := newControlledBody()
				env.d.silent = map[ident.UpstreamID]bool{"d1": true}
				env.d.do["d1"] = []reply{{verdict: dialect.Success, status: http.StatusOK, stream: body}}
				env.d.do["d2"] = []reply{wholeFrom(1)}
				written := make(chan struct{})
				go func() {
					defer close(written)
					time.Sleep(5 * time.Second)
					_, _ = body.w.Write([]byte(events(1, 5)))
					_ = body.w.Close()
				}()
				got := &streamRecorder{}
				r := resumable
				r.PaceObjective = 300 * time.Millisecond
				_, err := env.Stream(t.Context(), job(r), got)
				<-written
				assert.NilError(t, err)
				assert.Equal(t, got.body.String(), events(1, 5))
				assert.DeepEqual(t, decodeSends(env), test.sent)
			})
		})
	}
}
