// Package common holds what the settings of entries and agents have in common: the
// operators' part, and checks of names, addresses, certificates and logs. Each check
// reports its findings to a settings.Report.
package common

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/tlsconf"
)

// Advice of the findings.
const (
	adviceName      = "use lower-case letters, digits and inner hyphens, at most 63"
	adviceAddress   = `give an IP number and a port, for example "127.0.0.1:9200"`
	adviceOperators = "list identities under operators.names"
	adviceTLS       = "see docs/operators/tls.md"
	adviceCA        = "name the authorities that sign the other instances' certificates"
	adviceLog       = "level is debug, info, warn or error; format is json or text"
)

// missing is what is wrong with a field that must be given.
const missing = "is missing"

// Presence says whether a field must be given.
type Presence bool

// The values of Presence.
const (
	Required Presence = true
	Optional Presence = false
)

// CheckName checks a name of an instance, a zone, a region or the like.
func CheckName[T ~string](r *settings.Report, field string, name T, p Presence) {
	switch {
	case name == "" && p == Required:
		r.Add(field, missing, adviceName)
	case name != "" && !ident.ValidName(string(name)):
		r.Add(field, fmt.Sprintf("%q is not a name", name), adviceName)
	}
}

// CheckAddress checks an "IP:port".
func CheckAddress(r *settings.Report, field, address string, p Presence) {
	switch {
	case address == "" && p == Required:
		r.Add(field, missing, adviceAddress)
	case address != "" && !validAddress(address):
		r.Add(field, fmt.Sprintf("%q is not an address", address), adviceAddress)
	}
}

// CheckLoopback checks an "IP:port" of the machine's own; advice says which one to
// use.
func CheckLoopback(r *settings.Report, field, address string, p Presence, advice string) {
	CheckAddress(r, field, address, p)
	if validAddress(address) && !loopback(address) {
		r.Add(field, "is not a loopback address", advice)
	}
}

// validAddress reports whether s is "IP:port".
func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// loopback reports whether s is a loopback "IP:port".
func loopback(s string) bool {
	host, _, err := net.SplitHostPort(s)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// Operators are the settings that concern operators' tools.
type Operators struct {
	// Listen is where operators' calls are taken; empty means none.
	Listen string `yaml:"listen"`
	// Names lists the identities that operators may use.
	Names []ident.InstanceID `yaml:"names"`
}

// Check checks the settings, which stand under "operators".
func (o Operators) Check(r *settings.Report) {
	CheckAddress(r, "operators.listen", o.Listen, Optional)
	for i, name := range o.Names {
		CheckName(r, fmt.Sprintf("operators.names[%d]", i), name, Required)
	}
	if o.Listen != "" && len(o.Names) == 0 {
		r.Add("operators.listen", "no operator may connect", adviceOperators)
	}
}

// CheckPeerTLS reads the files for connections to other instances, which stand under
// "tls". No files are no fault; without authorities nobody could be believed.
func CheckPeerTLS(r *settings.Report, s tlsconf.Settings) {
	CheckFiles(r, "tls", s)
	if s.Enabled() && s.CA == "" {
		r.Add("tls.ca", missing, adviceCA)
	}
}

// CheckFiles reads the certificate files under a field, if there are any.
func CheckFiles(r *settings.Report, field string, s tlsconf.Settings) {
	if !s.Enabled() {
		return
	}
	_, err := tlsconf.New(s, tlsconf.Options{})
	var file *tlsconf.FileError
	switch {
	case errors.As(err, &file):
		r.Add(field+"."+file.Field, err.Error(), adviceTLS)
	case err != nil:
		r.AddError(field, err)
	}
}

// CheckLog checks the options of the log, which stand under "log".
func CheckLog(r *settings.Report, o logs.Options) {
	if _, err := logs.New(nil, o); err != nil {
		r.Add("log", err.Error(), adviceLog)
	}
}
