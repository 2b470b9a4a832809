namespace marjoramhaven {
}
