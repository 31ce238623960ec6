// Package soak runs entry processes as separate processes beside stand-ins of
// the users' platform, injects faults from outside them, and checks what callers
// and endpoints see. It consists of tests only:
//
//	go test ./gateway/soak                                # the seeds of CI
//	go test ./gateway/soak -soak.seeds 50 -soak.first 100 # fifty other seeds
//	go test ./gateway/soak -soak.seconds 60               # longer runs
package soak
