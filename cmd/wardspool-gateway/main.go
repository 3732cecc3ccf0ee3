// Command wardspool-gateway runs the gateway of one instance of a deployment.
package main

import (
	"github.com/wardspool/wardspool/gateway/program"
	_ "github.com/wardspool/wardspool/platform" // deployment.platform
)

// version is set at build time.
var version = "devel"

func main() { program.New(version).Main() }
