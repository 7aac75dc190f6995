"""The project's stand-in of servers, with a longer time for a statement."""

import os

from sassafrasridge_testkit import linegroup

if __name__ == '__main__':
    seconds = float(os.environ.get('READ_COST_S', linegroup.READ_COST_S))
    linegroup.READ_COST_S = seconds
    linegroup.main()
