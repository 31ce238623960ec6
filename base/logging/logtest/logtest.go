// Package logtest keeps logs out of the output of tests. It is for tests only.
package logtest

import (
	"flag"
	"io"

	"k8s.io/klog/v2"
)

// Silence drops all log lines of the process but those that end it.
func Silence() {
	quiet := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(quiet)
	_ = quiet.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"}) // Both flags exist; it would panic.
	klog.SetOutput(io.Discard)
}
