package slopes

// Page returns the capacity page worked out from the file.
func Page(*File) (string, error) {
	return "", nil
}
