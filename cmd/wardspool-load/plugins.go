package main

// The decision plug-ins that the experiment can use.
import (
	_ "github.com/wardspool/wardspool/plugins/slots/probe"
	_ "github.com/wardspool/wardspool/plugins/slots/shares"
	_ "github.com/wardspool/wardspool/plugins/standard"
)
