// Command wardspool-gateway is the gateway's process at each instance of a
// deployment.
package main

import (
	"github.com/wardspool/wardspool/gateway/program"
	_ "github.com/wardspool/wardspool/platform" // deployment.platform
)

// version is set by the build.
var version = "devel"

func main() { program.New(version).Main() }
