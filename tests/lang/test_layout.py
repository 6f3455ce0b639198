"""The format of one text as a golden copy; test_properties.py checks general properties of the formatter."""

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


def test_an_unformatted_and_a_formatted_text_have_the_same_layout():
    for text in (MESSY, TIDY):
        assert format.layout(parse(text, "f", Problems())) == TIDY
