package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
)

// askFlags say which entry instances to ask, and as whom.
type askFlags struct {
	Instances []string      `required:"" placeholder:"IP:PORT" help:"Operators' addresses of the entry instances to ask (operators.listen in their settings), separated by commas."`
	As        string        `default:"ops-1" help:"Operator's identity, one of operators.names in the instances' settings."`
	Timeout   time.Duration `default:"3s" help:"How long to wait for answers."`
}

// operatorZone is the zone that operators' tools name in their hello. It is no
// zone of the fleet.
const operatorZone ident.Zone = "operators"

// pool returns connections made under the operator's identity. The instances
// decide whom they believe; the tool was told their addresses.
func (f *askFlags) pool() *peer.Pool {
	return peer.NewPool(peer.Config{
		Self: peer.Identity{
			Instance:    ident.InstanceID(f.As),
			Incarnation: ident.NewIncarnation(time.Now()),
			Zone:        operatorZone,
		},
		Allow: func(peer.Identity) bool { return true },
	})
}

// askExit ends the program with a code after its output was printed.
type askExit struct{ Code int }

// Error implements error.
func (e *askExit) Error() string { return fmt.Sprintf("exit code %d", e.Code) }

// ExitCode tells kong the program's exit code.
func (e *askExit) ExitCode() int { return e.Code }

// answer is what the instances said, in a form for people.
type answer interface{ Write(w io.Writer) error }

// printAnswer prints tables or JSON.
func printAnswer(a answer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(a)
	}
	return a.Write(os.Stdout)
}
