package matrix

func page(t *table) string { return t.text() }
