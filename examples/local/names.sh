engine=notice-gen
plain=kiosk-ctl
