package refusal

import "maps"

// Reasons describes each code. docs/REASONS.md lists the same codes. Each area
// keeps its codes in a file of its own.
var Reasons = merged(requestReasons, runReasons, formReasons, authorityReasons, policyReasons)

func merged(areas ...map[Code]Reason) map[Code]Reason {
	all := make(map[Code]Reason)
	for _, area := range areas {
		maps.Copy(all, area)
	}
	return all
}
