package refusal

import "maps"

// Reasons describes each code. docs/REASONS.md lists the same codes. The codes of
// each area are in a file of their own.
var Reasons = mergeReasons(requestReasons, runReasons, formReasons, authorityReasons, policyReasons)

func mergeReasons(areas ...map[Code]Reason) map[Code]Reason {
	all := make(map[Code]Reason)
	for _, area := range areas {
		maps.Copy(all, area)
	}
	return all
}
