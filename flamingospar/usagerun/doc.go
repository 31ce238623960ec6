// Package usagerun tests that usage is billed exactly once. It runs seeded
// simulations in virtual time of agents' ledgers and entries' writers and
// sealers on the stand-in platform, and injects crashes, pauses, partitions,
// outages and lost responses.
package usagerun
