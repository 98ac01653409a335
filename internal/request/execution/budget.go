package execution

// RetryTokens returns the number of retries left in the retry budget of the instance, for metrics.
func (e *Engine) RetryTokens() float64 { return e.budget.Tokens() }
