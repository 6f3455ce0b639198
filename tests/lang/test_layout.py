"""One text laid out, as a golden copy; the properties stand in test_properties."""

from scalefall.lang import format
from scalefall.lang.syntax import parse
from scalefall.lang.text import Problems

MESSY = """


#  first
include   "a.scale" ;include "b.scale"   # both
class fee-order{aim 3s;deadline 24s}class note { aim 3s
  # its deadline


  deadline 24s };


pool p   {   # the pool

  kind a ; limit   4   per 1s
  endpoint x {at 10.0.0.1:80;zone praha}
  endpoint long { at 10.0.0.1:80; zone praha-with-a-very-long-name-indeed-so-that-the-line-is-too-long; state draining }
  dial-within 10.0.0.0/8 ,
     10.1.0.0/16
  # last

}
pool empty { }
# end
"""
TIDY = """\
#  first
include "a.scale"; include "b.scale"  # both
class fee-order { aim 3s; deadline 24s }
class note {
  aim 3s
  # its deadline

  deadline 24s
}

pool p {  # the pool
  kind a; limit 4 per 1s
  endpoint x { at 10.0.0.1:80; zone praha }
  endpoint long {
    at 10.0.0.1:80; zone praha-with-a-very-long-name-indeed-so-that-the-line-is-too-long; state draining
  }
  dial-within 10.0.0.0/8, 10.1.0.0/16
  # last
}
pool empty { }
# end
"""


def test_the_one_way_to_lay_out():
    for text in (MESSY, TIDY):
        assert format.layout(parse(text, "f", Problems())) == TIDY
