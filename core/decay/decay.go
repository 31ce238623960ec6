// Package decay computes how much of a sample or a sum is left after a time, if it loses half
// of its value in each half-life.
package decay

import (
	"math"
	"time"
)

// Remaining returns the part that is left after an age: 1 at an age of 0 or less.
func Remaining(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
