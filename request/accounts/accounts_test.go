package accounts

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/version/confstore"
	"github.com/rattanway/rattanway/version/declare"
)

// newTestController returns a [Controller] for the given accounts. The key of
// each account is the name of the account followed by "-key".
func newTestController(accounts ...*declare.ClientAccount) *Controller {
	set := declare.NewSet()
	for _, a := range accounts {
		a.KeyHash = core.DigestOf([]byte(a.Name + "-key"))
		set.ClientAccounts[a.Name] = a
	}
	holder := confstore.NewHolder()
	holder.Offer(&declare.Snapshot{Number: 1, Set: set})
	return New(holder)
}

func TestAuthenticate(t *testing.T) {
	Convey("A valid key yields its client account, and an invalid key an error", t, func() {
		controller := newTestController(&declare.ClientAccount{Name: "erbe"}, &declare.ClientAccount{Name: "toa"})
		a, err := controller.Authenticate("Bearer toa-key")
		So(err, ShouldBeNil)
		So(a.Name, ShouldEqual, "toa")
		for _, wrong := range []string{"", "Bearer ", "toa-key", "Bearer toa-keys", "Basic toa-key"} {
			_, err := controller.Authenticate(wrong)
			So(err, ShouldEqual, ErrUnauthorized)
		}
	})
}

func TestAdmit(t *testing.T) {
	Convey("Given a large and a small account", t, func() {
		large := &declare.ClientAccount{Name: "large", MaxInFlight: 12}
		small := &declare.ClientAccount{Name: "small"}
		controller := newTestController(large, small)
		for range 9 {
			_, err := controller.Admit(large, false)
			So(err, ShouldBeNil)
		}
		Convey("an account is not limited to a share when capacity is short and no other account has calls in flight", func() {
			admission, err := controller.Admit(large, true)
			So(err, ShouldBeNil)
			So(admission.WithinFairShare, ShouldBeFalse)
		})
		Convey("when capacity is short, a call of the small account is within the account's share, and a call of the large account is refused", func() {
			admission, err := controller.Admit(small, true)
			So(err, ShouldBeNil)
			So(admission.WithinFairShare, ShouldBeTrue)
			_, err = controller.Admit(large, true)
			So(err, ShouldEqual, ErrFairShare)
			admission.Release()
			_, err = controller.Admit(large, true)
			So(err, ShouldBeNil)
		})
		Convey("MaxInFlight limits the calls even if capacity is not short", func() {
			for range 3 {
				_, err := controller.Admit(large, false)
				So(err, ShouldBeNil)
			}
			_, err := controller.Admit(large, false)
			So(err, ShouldEqual, ErrTooManyInFlight)
		})
	})
}
