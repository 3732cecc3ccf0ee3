package report

import (
	"strconv"
	"time"
)

// Share formats n/total with four decimals, or "0.0000" if total is 0.
func Share(n, total float64) string {
	if total == 0 {
		return Fixed(0, shareDecimals)
	}
	return Fixed(n/total, shareDecimals)
}

// shareDecimals is the number of decimals of a share.
const shareDecimals = 4

// Fixed formats a number with a fixed number of decimals.
func Fixed(v float64, decimals int) string {
	return strconv.FormatFloat(v, 'f', decimals, 64)
}

// Millis formats a duration in milliseconds with one decimal.
func Millis(d time.Duration) string {
	return Fixed(float64(d)/float64(time.Millisecond), 1)
}
