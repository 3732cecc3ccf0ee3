// Command review-bed runs one case of the review: it starts gateways with the settings of the deploy
// folder, plays the store, the runners and the clients, and checks one rule from what these have seen.
//
//	review-bed CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case, and the exit code of the program.
type verdict int

// The verdicts.
const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// cases are the cases by name.
var cases = map[string]func(b *bed, trouble bool) (verdict, error){
	"two-holders":   twoHolders,
	"doubled-slash": doubledSlash,
	"encoded-slash": encodedSlash,
	"silent-runner": silentRunner,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-bed CASE FOLDER")
		os.Exit(int(failed))
	}
	os.Exit(int(run(os.Args[1], os.Args[2])))
}

// run runs a case and returns its verdict.
func run(name, folder string) verdict {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v, %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	b, err := newBed(rec)
	if err != nil {
		rec.add("could not run: %v", err)
		return failed
	}
	defer b.close()
	stopAfter(b, rec)
	v, err := cases[name](b, trouble)
	if err != nil {
		rec.add("could not run: %v", err)
		return failed
	}
	rec.add("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", failed: "could not run"}[v])
	return v
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

// stopAfter ends the case, its processes and this program when maxTime has passed or on a signal.
func stopAfter(b *bed, rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			rec.add("could not run: %v", s)
		case <-time.After(maxTime):
			rec.add("could not run: not over after %v", maxTime)
		}
		b.close()
		rec.close()
		os.Exit(int(failed))
	}()
}
