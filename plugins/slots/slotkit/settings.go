package slotkit

// SetDefault sets a setting to the given default if it is zero.
func SetDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
