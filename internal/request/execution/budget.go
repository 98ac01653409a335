package execution

// RetryTokens returns the retries that are left in the instance's budget.
func (e *Engine) RetryTokens() float64 { return e.budget.Tokens() }
