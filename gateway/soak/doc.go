// Package soak holds a fault-injection soak test. It runs real entry processes
// against fakes of the users' platform, injects faults from outside the
// processes, and checks what callers and endpoints observe:
//
//	go test ./gateway/soak                                # the seeds of CI
//	go test ./gateway/soak -soak.seeds 50 -soak.first 100 # fifty other seeds
//	go test ./gateway/soak -soak.seconds 60               # longer runs
package soak
