package dev

// StartTestSystemOn starts a test system for the external test package.
var StartTestSystemOn = startTestSystemOn

// TestLatency is the one-way delay of test networks.
const TestLatency = testLatency
