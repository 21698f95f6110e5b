"""The sassafrasctl command for operators."""
