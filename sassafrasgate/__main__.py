"""Run the command line with ``python -m sassafrasgate``."""

from pathlib import Path
import sys

from sassafrasgate.composition import run_frontend
from sassafrasgate.composition import run_scheduler
from sassafrasgate.configuration.settings import load_settings

if __name__ == '__main__':
    settings = load_settings(Path(sys.argv[4]))
    {'frontend': run_frontend, 'scheduler': run_scheduler}[sys.argv[2]](
        settings
    )
