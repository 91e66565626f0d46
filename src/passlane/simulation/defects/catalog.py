"""All defects by name."""

from passlane.simulation.defects.back_ends import BACK_END_DEFECTS
from passlane.simulation.defects.base import Defect
from passlane.simulation.defects.configuration import CONFIGURATION_DEFECTS
from passlane.simulation.defects.programs import PROGRAM_DEFECTS

DEFECTS: dict[str, Defect] = {
    defect.name: defect for defect in PROGRAM_DEFECTS + BACK_END_DEFECTS + CONFIGURATION_DEFECTS
}
"""Every defect, in the order in which they are listed."""
