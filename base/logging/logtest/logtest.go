// Package logtest keeps log lines out of the output of tests.
package logtest

import (
	"flag"
	"io"

	"k8s.io/klog/v2"
)

// Silence discards all log lines of the process except fatal ones.
func Silence() {
	quiet := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(quiet)
	_ = quiet.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"}) // Cannot fail: both flags exist, and the flag set panics on errors.
	klog.SetOutput(io.Discard)
}
