namespace zinnia {}
