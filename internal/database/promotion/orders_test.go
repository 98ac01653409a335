package promotion_test

import (
	"testing"

	"tanagercross/internal/database/promotion"
)

// Guards against forgetting an order without an answer, which replaces a primary when it is carried out late.
func TestUnansweredOrdersThreatenOthers(t *testing.T) {
	var none promotion.Orders
	if none.Threaten("a") || none.HighestToken("a") != 0 {
		t.Error("an order is reported where there is none")
	}
	o := none.WithUnanswered(promotion.Order{Server: "b", Token: 4}).WithUnanswered(promotion.Order{Server: "b", Token: 4})
	if !o.Threaten("a") || o.HighestToken("a") != 4 {
		t.Error("the order for b is not reported")
	}
	if o.Threaten("b") || o.HighestToken("b") != 0 {
		t.Error("the order for b is reported as a threat to b")
	}
	if again := o.WithAccepted(promotion.Order{Server: "a", Token: 4}); !again.Threaten("a") {
		t.Error("an order with the same token is taken for refused")
	}
	if confirmed := o.WithAccepted(promotion.Order{Server: "a", Token: 5}); confirmed.Threaten("a") || confirmed.Threaten("b") {
		t.Error("an order with a lower token than an accepted one is not taken for refused")
	}
}

// Guards against forgetting an older order when the order that was to overrule it is not answered either.
func TestUnansweredConfirmationOverrulesNothing(t *testing.T) {
	o := promotion.Orders{}.WithUnanswered(promotion.Order{Server: "b", Token: 4}).WithUnanswered(promotion.Order{Server: "a", Token: 5})
	if !o.Threaten("a") || o.HighestToken("a") != 4 || o.HighestToken("b") != 5 {
		t.Errorf("orders %+v, want both kept", o)
	}
}
