// Command rig measures the latency and resource use of one entry instance. It
// starts an entry and a static fleet of stand-in engines as processes on loopback
// and requests the same completions through the entry and directly, concurrently:
//
//	make build && go run ./load/overhead/rig --bin bin --out out
//
// As in a real deployment there are many small decode engines, each of which emits
// its own batch at its own phase. A single engine with all streams would emit a
// token of each at the same instant, and the burst itself would be measured.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// cli holds the command-line flags.
type cli struct {
	Bin      string        `help:"Directory of the programs." default:"bin"`
	Out      string        `help:"Directory of the CSV, the settings and the processes' logs." default:"out/overhead"`
	Cores    int           `help:"GOMAXPROCS of the entry; 0 is all cores." default:"0"`
	Engines  int           `help:"Decode engines." default:"50"`
	Slots    int           `help:"Slots of each." default:"40"`
	Policy   string        `help:"Slot policy of the bundle." default:"slots.dispatch"`
	Step     time.Duration `help:"Decode step, whatever the batch." default:"54ms"`
	Prompt   int           `help:"Prompt length in tokens." default:"100"`
	Output   int           `help:"Mean output length in tokens; lengths go from half to one and a half of it." default:"50"`
	Streams  int           `help:"Completions in flight through the entry." default:"1000"`
	Direct   int           `help:"Completions in flight directly at the engines." default:"200"`
	Saturate bool          `help:"Without pauses between completions: give enough streams and a short step, so that the entry is the bottleneck."`
	Warmup   time.Duration `help:"Time before the measured one." default:"5s"`
	Duration time.Duration `help:"Measured time." default:"20s"`
	Seed     uint64        `help:"Seed of the mix." default:"1"`
}

// gcPercent makes the load generator's garbage collection rare: its mark phase would
// compete with the entry for cores, and the delay would be attributed to the entry.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	var c cli
	kong.Parse(&c, kong.Description("Measures the cost of one entry instance over real processes."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
