// Package usagerun proves that usage is billed exactly once: seeded runs of the
// agents' ledgers, the entries' writers and sealers over the stand-in platform,
// in virtual time, with kills, pauses, partitions, outages and lost answers.
package usagerun
