package dev

// StartTestSystemOn lets tests of this package's users start a system.
var StartTestSystemOn = startTestSystemOn

// TestLatency is the one-way delay of the tests' networks.
const TestLatency = testLatency
